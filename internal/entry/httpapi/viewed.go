package httpapi

import "github.com/labstack/echo/v4"

// viewed refuses reads before the entry has a confirmed view: an empty view
// would look like a configuration that went back.
func (a *api) viewed(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := a.backend.Viewed(); err != nil {
			return err
		}
		return next(c)
	}
}
