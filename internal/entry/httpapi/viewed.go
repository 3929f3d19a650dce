package httpapi

import "github.com/labstack/echo/v4"

// requireView refuses reads before the entry has a confirmed view. Its empty view
// would look like a configuration that went back to an older revision.
func (a *api) requireView(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := a.backend.ViewReady(); err != nil {
			return err
		}
		return next(c)
	}
}
