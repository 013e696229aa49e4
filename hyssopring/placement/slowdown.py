"""Estimate how much batch templates slow a service, with the uncertainty.

The model is log(tail) = baseline(load) + sum over templates of weight(load) *
cores, where cores is the fraction of the VM's cores that the template's tasks
use. The baseline and the weights are piecewise linear in the load. A report
between two knots updates both, so that neighbouring ranges of load learn from
each other and a change of load within a range is not treated as noise. Each
report is a Kalman filter update with the full covariance matrix: templates
that always ran together remain uncertain individually although their sum is
known.
"""

import math
from dataclasses import dataclass
from typing import Iterator, Mapping, Sequence

__all__ = ('Prediction', 'SlowdownModel')

_BASELINE = ''
_BASELINE_KNOTS = (0, 0.15, 0.3, 0.45, 0.6, 0.75, 0.9, 1.05)
_WEIGHT_KNOTS = (0, 0.35, 0.7, 1.05)
# An unknown template has a small expected weight with a large variance, so
# that at first its tasks get only a part of a VM.
_PRIOR_MEAN = 0.1
_PRIOR_VARIANCE = 0.25
_BASELINE_VARIANCE = 25.0
# Variance added per report and core fraction, since weights change with new
# versions of the programs.
_DRIFT_VARIANCE = 1e-5
_INITIAL_NOISE = 0.05
_MIN_NOISE = 0.002
_NOISE_WEIGHT = 0.01

_FeatureKey = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Prediction:
    """Expected value of log(tail), or of its growth.

    Attributes:
        mean: The expected value.
        deviation: Its standard deviation.
    """

    mean: float
    deviation: float


class _ServiceModel:
    """Kalman filter for one service's baseline and template weights.

    Attributes:
        noise: Estimated variance of the measured log(tail).
    """

    def __init__(self) -> None:
        self.noise = _INITIAL_NOISE
        self._index_by_key: dict[_FeatureKey, int] = {}
        self._means: list[float] = []
        self._covariance: list[list[float]] = []

    def update(
        self, features: Mapping[_FeatureKey, float], log_tail: float
    ) -> None:
        indexed = self._indexed(features)
        covariances = [
            sum(row[index] * feature for index, feature in indexed)
            for row in self._covariance
        ]
        prediction_variance = sum(
            covariances[index] * feature for index, feature in indexed
        )
        residual = log_tail - sum(
            self._means[index] * feature for index, feature in indexed
        )
        noise = max(self.noise, _MIN_NOISE)
        self._step(covariances, residual, prediction_variance + noise)
        for index, feature in indexed:
            self._covariance[index][index] += _DRIFT_VARIANCE * feature
        if prediction_variance < noise:
            excess_variance = residual**2 - prediction_variance
            self.noise += _NOISE_WEIGHT * (excess_variance - self.noise)

    def _step(
        self,
        covariances: Sequence[float],
        residual: float,
        variance: float,
    ) -> None:
        """Update every weight that is correlated with the prediction."""
        for index, covariance in enumerate(covariances):
            if covariance:
                gain = covariance / variance
                self._means[index] += gain * residual
                self._covariance[index] = [
                    existing - gain * other_covariance
                    for existing, other_covariance in zip(
                        self._covariance[index], covariances
                    )
                ]

    def predict(self, features: Mapping[_FeatureKey, float]) -> Prediction:
        """Return the weighted sum of the features.

        Negative weights count as 0: they are estimation errors, and no task
        makes a service faster.
        """
        indexed = self._indexed(features)
        mean: float = 0
        variance: float = 0
        for index, feature in indexed:
            mean += max(self._means[index], 0) * feature
            row = self._covariance[index]
            variance += feature * sum(
                row[other_index] * other_feature
                for other_index, other_feature in indexed
            )
        return Prediction(mean, math.sqrt(max(variance, 0)))

    def _indexed(
        self,
        features: Mapping[_FeatureKey, float],
    ) -> list[tuple[int, float]]:
        return [
            (self._index(key), feature) for key, feature in features.items()
        ]

    def _index(self, key: _FeatureKey) -> int:
        existing = self._index_by_key.get(key)
        if existing is not None:
            return existing
        index = len(self._means)
        self._index_by_key[key] = index
        is_baseline = key[0] == _BASELINE
        self._means.append(0 if is_baseline else _PRIOR_MEAN)
        for row in self._covariance:
            row.append(0)
        self._covariance.append([0 for _ in range(index + 1)])
        variance = _BASELINE_VARIANCE if is_baseline else _PRIOR_VARIANCE
        self._covariance[index][index] = variance
        return index


class SlowdownModel:
    """Slowdown of every service by templates, from all agents' reports."""

    def __init__(self) -> None:
        """Start with the prior for every service and template."""
        self._model_by_service: dict[str, _ServiceModel] = {}

    def observe(
        self,
        service_name: str,
        load: float,
        cores_by_template: Mapping[str, float],
        tail_ms: float,
    ) -> None:
        """Update the model with one measured tail latency.

        Args:
            service_name: Service of the backend server.
            load: Fraction of its slots that is busy.
            cores_by_template: Fraction of the VM's cores in use by template.
            tail_ms: Measured tail latency.
        """
        features = dict(_weight_features(cores_by_template, load))
        features.update(_baseline_features(load))
        self._model(service_name).update(features, math.log(tail_ms))

    def baseline(self, service_name: str, load: float) -> float | None:
        """Return log(tail) without batch tasks, None while it is unknown."""
        features = dict(_baseline_features(load))
        prediction = self._model(service_name).predict(features)
        is_known = prediction.deviation**2 < 1
        return prediction.mean if is_known else None

    def predict(
        self,
        service_name: str,
        load: float,
        cores_by_template: Mapping[str, float],
    ) -> Prediction:
        """Return how much these templates raise log(tail) at this load.

        Args:
            service_name: Service of the backend server.
            load: Fraction of its slots that is busy.
            cores_by_template: Fraction of the VM's cores in use by template.
        """
        features = dict(_weight_features(cores_by_template, load))
        return self._model(service_name).predict(features)

    def _model(self, service_name: str) -> _ServiceModel:
        if service_name not in self._model_by_service:
            self._model_by_service[service_name] = _ServiceModel()
        return self._model_by_service[service_name]


def _baseline_features(load: float) -> Iterator[tuple[_FeatureKey, float]]:
    for knot, weight in _interpolation(load, _BASELINE_KNOTS):
        yield (_BASELINE, knot), weight


def _weight_features(
    cores_by_template: Mapping[str, float],
    load: float,
) -> Iterator[tuple[_FeatureKey, float]]:
    knots = _interpolation(load, _WEIGHT_KNOTS)
    for template, core_fraction in cores_by_template.items():
        for knot, weight in knots:
            yield (template, knot), weight * core_fraction


def _interpolation(
    load: float, knots: Sequence[float]
) -> list[tuple[int, float]]:
    """Return the indexes of the knots around a load with their weights.

    The weights are those of a linear interpolation and add up to 1.
    """
    clamped_load = min(max(load, knots[0]), knots[-1])
    upper = 1
    while knots[upper] < clamped_load:
        upper += 1
    width = knots[upper] - knots[upper - 1]
    upper_weight = (clamped_load - knots[upper - 1]) / width
    return [(upper - 1, 1 - upper_weight), (upper, upper_weight)]
