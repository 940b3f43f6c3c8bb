"""Weighted least squares with two coefficients, over observations that fade."""

import math

import attrs


@attrs.frozen(kw_only=True)
class Fit:
    """Coefficients of `y = offset * has_offset + slope * x`.

    Parameters
    ----------
    slope_error : float
        Standard error of the slope.
    x_spread : float
        Standard deviation of `x`.
    """

    offset: float
    slope: float
    slope_error: float
    x_spread: float = 0.0


@attrs.define
class FadingRegression:
    """Sums of the observations; older ones count less, so the state has a fixed size.

    Parameters
    ----------
    half_life_ms : float
        Age at which an observation counts half.

    Examples
    --------
    >>> regression = FadingRegression(half_life_ms=1_000.0)
    >>> for x in (1.0, 2.0, 4.0):
    ...     regression.add(x, 3.0 + 0.5 * x, now_ms=0)
    >>> fit = regression.solve()
    >>> round(fit.offset, 6), round(fit.slope, 6)
    (3.0, 0.5)
    """

    half_life_ms: float
    count: float = 0.0
    _updated_ms: int | None = None
    _offsets: float = 0.0
    _offset_x: float = 0.0
    _offset_y: float = 0.0
    _xx: float = 0.0
    _xy: float = 0.0
    _yy: float = 0.0

    def add(
        self,
        x: float,
        y: float,
        *,
        now_ms: int,
        has_offset: bool = True,
        weight: float = 1.0,
    ) -> None:
        """Add an observation.

        Parameters
        ----------
        weight : float
            Proportional to the inverse of the variance of `y`.
        """
        if self._updated_ms is not None:
            self._fade(max(now_ms - self._updated_ms, 0))
        self._updated_ms = now_ms
        self.count += 1
        if has_offset:
            self._offsets += weight
            self._offset_x += weight * x
            self._offset_y += weight * y
        self._xx += weight * x * x
        self._xy += weight * x * y
        self._yy += weight * y * y

    def _fade(self, age_ms: float) -> None:
        share = 0.5 ** (age_ms / self.half_life_ms)
        self.count *= share
        self._offsets *= share
        self._offset_x *= share
        self._offset_y *= share
        self._xx *= share
        self._xy *= share
        self._yy *= share

    def solve(self) -> Fit | None:
        """Return the coefficients; None if the observations do not determine them."""
        determinant = self._offsets * self._xx - self._offset_x**2
        if determinant <= 1e-9 * max(self._offsets * self._xx, 1e-12):
            return self.solve_with_offset(0.0) if not self._offsets else None
        slope = self._offsets * self._xy - self._offset_x * self._offset_y
        offset = self._xx * self._offset_y - self._offset_x * self._xy
        slope, offset = slope / determinant, offset / determinant
        residual = (
            self._yy
            + offset**2 * self._offsets
            + slope**2 * self._xx
            + 2 * offset * slope * self._offset_x
            - 2 * offset * self._offset_y
            - 2 * slope * self._xy
        )
        variance = max(residual, 0.0) / max(self.count - 2, 1.0)
        error = math.sqrt(variance * self._offsets / determinant)
        return Fit(
            offset=offset,
            slope=slope,
            slope_error=error,
            x_spread=math.sqrt(determinant) / self._offsets,
        )

    def solve_with_offset(self, offset: float) -> Fit | None:
        """Return the slope if the offset is known."""
        if self._xx <= 0:
            return None
        slope = (self._xy - offset * self._offset_x) / self._xx
        residual = (
            self._yy
            + offset**2 * self._offsets
            + slope**2 * self._xx
            + 2 * offset * slope * self._offset_x
            - 2 * offset * self._offset_y
            - 2 * slope * self._xy
        )
        variance = max(residual, 0.0) / max(self.count - 1, 1.0)
        return Fit(
            offset=offset, slope=slope, slope_error=math.sqrt(variance / self._xx)
        )
