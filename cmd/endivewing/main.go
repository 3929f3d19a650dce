// Command endivewing dispatches sub-second tasks.
package main

func main() {}
