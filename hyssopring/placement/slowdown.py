"""Learns how much batch templates slow a service, with its uncertainty.

The model: log(tail) = level(load) + sum over templates of weight(load) *
cores, where cores is the part of the VM's cores that the template's tasks
use. Level and weights are piecewise linear in the load: a report between two
knots moves both, so neighbouring bands of load learn from each other and a
load that moves inside a band is not taken for noise. Each report is a Kalman
step with the whole covariance: templates that were never seen apart stay
uncertain, each by itself, although their sum is known.
"""

import math
from dataclasses import dataclass
from typing import Iterator, Mapping, Sequence

__all__ = ('Prediction', 'SlowdownModel')

_LEVEL = ''
_LEVEL_KNOTS = (0, 0.15, 0.3, 0.45, 0.6, 0.75, 0.9, 1.05)
_WEIGHT_KNOTS = (0, 0.35, 0.7, 1.05)
# Of an unknown template little harm is expected but much is possible: a part
# of a VM is tried at first, not all of it.
_PRIOR_MEAN = 0.1
_PRIOR_VARIANCE = 0.25
_LEVEL_VARIANCE = 25.0
# Weights may drift, as versions of programs do; per report in which they show.
_DRIFT = 1e-5
_FIRST_NOISE = 0.05
_MIN_NOISE = 0.002
_NOISE_WEIGHT = 0.01

_Key = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Prediction:
    """Expected growth of log(tail), and its standard deviation."""

    mean: float
    deviation: float


class _ServiceModel:
    """One service: a Kalman filter over the weights met so far."""

    def __init__(self) -> None:
        self.noise = _FIRST_NOISE
        self._index_by_key: dict[_Key, int] = {}
        self._means: list[float] = []
        self._covariance: list[list[float]] = []

    def update(self, features: Mapping[_Key, float], log_tail: float) -> None:
        present = self._indexed(features)
        covariants = [
            sum(row[index] * part for index, part in present)
            for row in self._covariance
        ]
        spread = sum(covariants[index] * part for index, part in present)
        error = log_tail - sum(
            self._means[index] * part for index, part in present
        )
        noise = max(self.noise, _MIN_NOISE)
        self._step(covariants, error, spread + noise)
        for index, part in present:
            self._covariance[index][index] += _DRIFT * part
        if spread < noise:
            surprise = error**2 - spread
            self.noise += _NOISE_WEIGHT * (surprise - self.noise)

    def _step(
        self,
        covariants: Sequence[float],
        error: float,
        variance: float,
    ) -> None:
        """Move every weight that varies together with the prediction."""
        for index, covariant in enumerate(covariants):
            if covariant:
                gain = covariant / variance
                self._means[index] += gain * error
                self._covariance[index] = [
                    known - gain * other
                    for known, other in zip(self._covariance[index], covariants)
                ]

    def predict(self, features: Mapping[_Key, float]) -> Prediction:
        """Sum up; a weight below nothing is an error, no help to others."""
        present = self._indexed(features)
        mean: float = 0
        variance: float = 0
        for index, part in present:
            mean += max(self._means[index], 0) * part
            row = self._covariance[index]
            variance += part * sum(row[other] * near for other, near in present)
        return Prediction(mean, math.sqrt(max(variance, 0)))

    def _indexed(
        self,
        features: Mapping[_Key, float],
    ) -> list[tuple[int, float]]:
        return [(self._index(key), part) for key, part in features.items()]

    def _index(self, key: _Key) -> int:
        known = self._index_by_key.get(key)
        if known is not None:
            return known
        index = len(self._means)
        self._index_by_key[key] = index
        is_level = key[0] == _LEVEL
        self._means.append(0 if is_level else _PRIOR_MEAN)
        for row in self._covariance:
            row.append(0)
        self._covariance.append([0 for _ in range(index + 1)])
        variance = _LEVEL_VARIANCE if is_level else _PRIOR_VARIANCE
        self._covariance[index][index] = variance
        return index


class SlowdownModel:
    """All services and templates, from every agent's reports."""

    def __init__(self) -> None:
        """Start with the prior for every pair."""
        self._model_by_service: dict[str, _ServiceModel] = {}

    def observe(
        self,
        service_name: str,
        load: float,
        cores_by_template: Mapping[str, float],
        tail_ms: float,
    ) -> None:
        """Take one report of a backend's tail beside these templates.

        Args:
            service_name: The service of the backend server.
            load: Busy part of its slots.
            cores_by_template: Part of the VM's cores in use by template.
            tail_ms: The tail latency measured.
        """
        features = dict(_harm_features(cores_by_template, load))
        features.update(_level_features(load))
        self._model(service_name).update(features, math.log(tail_ms))

    def level(self, service_name: str, load: float) -> float | None:
        """Return log(tail) without batch work, None while unknown."""
        features = dict(_level_features(load))
        prediction = self._model(service_name).predict(features)
        is_known = prediction.deviation**2 < 1
        return prediction.mean if is_known else None

    def predict(
        self,
        service_name: str,
        load: float,
        cores_by_template: Mapping[str, float],
    ) -> Prediction:
        """Return how much these templates raise log(tail) at this load."""
        features = dict(_harm_features(cores_by_template, load))
        return self._model(service_name).predict(features)

    def _model(self, service_name: str) -> _ServiceModel:
        if service_name not in self._model_by_service:
            self._model_by_service[service_name] = _ServiceModel()
        return self._model_by_service[service_name]


def _level_features(load: float) -> Iterator[tuple[_Key, float]]:
    for knot, near in _nearness(load, _LEVEL_KNOTS):
        yield (_LEVEL, knot), near


def _harm_features(
    cores_by_template: Mapping[str, float],
    load: float,
) -> Iterator[tuple[_Key, float]]:
    knots = _nearness(load, _WEIGHT_KNOTS)
    for template, part in cores_by_template.items():
        for knot, near in knots:
            yield (template, knot), near * part


def _nearness(load: float, knots: Sequence[float]) -> list[tuple[int, float]]:
    """Return the two knots around a load and how near it is to each."""
    inside = min(max(load, knots[0]), knots[-1])
    upper = 1
    while knots[upper] < inside:
        upper += 1
    width = knots[upper] - knots[upper - 1]
    part = (inside - knots[upper - 1]) / width
    return [(upper - 1, 1 - part), (upper, part)]
