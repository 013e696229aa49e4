"""Least-squares lines through measured points."""

import math
from dataclasses import asdict, dataclass


@dataclass(frozen=True)
class Fit:
    """``y = intercept + slope * x`` with the slope's standard error."""

    intercept: float
    slope: float
    slope_error: float
    r_squared: float

    @classmethod
    def from_points(cls, points):
        count = len(points)
        mean_x = sum(x for x, _ in points) / count
        mean_y = sum(y for _, y in points) / count
        spread = sum((x - mean_x) ** 2 for x, _ in points)
        slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
        intercept = mean_y - slope * mean_x
        residual = sum((y - intercept - slope * x) ** 2 for x, y in points)
        total = sum((y - mean_y) ** 2 for _, y in points)
        freedom = max(count - 2, 1)
        return cls(
            intercept,
            slope,
            math.sqrt(residual / freedom / spread),
            1 - residual / total if total else 1.0,
        )


def slope_record(points):
    """Return the stored form: raw points and fit, with five digits each."""
    fit = {
        name: float(f'{value:.5g}')
        for name, value in asdict(Fit.from_points(points)).items()
    }
    raw = [[x, float(f'{y:.5g}')] for x, y in points]
    return {'points': raw, **fit}
