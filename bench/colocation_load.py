"""The load of a simulated day: its workers, jobs and interference."""

from dataclasses import dataclass, replace

from hyssopring.jobs.model import Queue, Size
from standins.jobs.interference import PairKinds, ResourceKinds

KEEPER_QUEUE = Queue('keepers', 'service', 0, 2, 2.2, 2500)
LARGE_QUEUE = Queue('large', 'service', 2, 4, 2.0, 1000)
SMALL_QUEUE = Queue('small', 'service', 0, 4, 1.5, 250)


@dataclass(frozen=True)
class JobKind:
    """Mean properties of the jobs of a queue.

    Attributes:
        steps: Mean, deviation and maximum of the number of steps.
        width: Mean number of tasks in a step.
        max_width: Maximum number of tasks in a step.
        size: Mean size of a task.
        work_s: Mean run time of an unthrottled task, in seconds.
        estimate_error: How far an estimate may be off, as a factor.
        per_s: Jobs per second.
    """

    queue: Queue
    steps: tuple[float, float, int]
    width: int
    max_width: int
    size: Size
    work_s: float
    estimate_error: float
    per_s: float


@dataclass(frozen=True)
class KeeperKind:
    """Properties of the jobs of keepers.

    Attributes:
        width: Minimum and maximum number of tasks.
        cpu_millis: Mean, deviation, minimum and maximum of a task's CPU.
        reserved_share: The share of all cores that all keepers reserve.
        target_factor: Latency target as a multiple of the base latency.
        images: Number of images.
        load: Minimum and maximum share of its capacity that a keeper uses.
        load_swing: Minimum and maximum swing of that share.
        load_period_s: Minimum and maximum period of the swing.
        image_skew: How much more jobs the first images have: the weight of an
            image is its rank to the power of minus this.
        submit_interval_s: Time from one job to the next.
    """

    width: tuple[int, int]
    cpu_millis: tuple[int, int, int, int]
    memory_mb: int
    reserved_share: float
    target_factor: float
    images: int
    load: tuple[float, float]
    load_swing: tuple[float, float]
    load_period_s: tuple[float, float]
    image_skew: float = 0
    submit_interval_s: float = 0.06


@dataclass(frozen=True)
class Load:
    """The load of a day.

    Attributes:
        workers: Number of workers.
        cores: The cores of a worker, one of these.
        filler_images: Number of images of best-effort tasks.
        mean_interference: Share of a keeper's capacity that a core of an
            interfering best-effort task takes.
        burst_factor: Rate of large jobs in a burst, as a multiple of the mean.
        pair_kinds: Two kinds of pairs of images instead of a continuum.
        has_load_by_job: Whether each job of keepers has its own load, as
            behind one load balancer, and not each image.
        power_loss_s: When all processes and workers are lost and restart, in
            seconds from the start of the load; None for never.
    """

    workers: int
    cores: tuple[int, ...]
    memory_mb: int
    keepers: KeeperKind
    large: JobKind
    small: JobKind
    filler_images: int
    mean_interference: float
    burst_factor: float
    pair_kinds: PairKinds | ResourceKinds | None = None
    has_load_by_job: bool = False
    power_loss_s: float | None = None


# A small deployment: workers of some 32 cores, tasks of a few cores.
SMALL_WORKERS = Load(
    workers=11,
    cores=(32, 32, 48),
    memory_mb=128_000,
    keepers=KeeperKind(
        (3, 8),
        (6400, 1600, 3000, 10_000),
        13_000,
        reserved_share=0.62,
        target_factor=4.5,
        images=5,
        load=(0.36, 0.46),
        load_swing=(0.3, 0.55),
        load_period_s=(8, 14),
    ),
    large=JobKind(
        LARGE_QUEUE, (2, 0.8, 5), 8, 32, Size(3500, 6400, 0), 3.4, 1.25, 0.75
    ),
    small=JobKind(
        SMALL_QUEUE, (1.6, 0.7, 4), 6, 32, Size(480, 960, 0), 2.0, 1.25, 2.2
    ),
    filler_images=9,
    mean_interference=0.03,
    burst_factor=2.6,
)

# Large workers that keepers reserve almost entirely, and wide jobs whose tasks
# ask for a ninth of a worker each, at times more than all workers have left.
LARGE_WORKERS = Load(
    workers=16,
    cores=(64, 64, 96),
    memory_mb=256_000,
    keepers=KeeperKind(
        (8, 20),
        (13_000, 3200, 6000, 20_000),
        26_000,
        reserved_share=0.9,
        target_factor=6,
        images=10,
        load=(0.42, 0.54),
        load_swing=(0.4, 0.7),
        load_period_s=(16, 24),
    ),
    large=JobKind(
        LARGE_QUEUE, (2, 0.8, 5), 20, 80, Size(7000, 13_000, 0), 5.4, 1.9, 0.6
    ),
    small=JobKind(
        SMALL_QUEUE, (1.6, 0.7, 4), 10, 57, Size(1400, 2800, 0), 2.0, 1.9, 1.16
    ),
    filler_images=18,
    mean_interference=0.006,
    burst_factor=1.45,
)

# Many small workers that keepers reserve almost entirely. Each one runs a few
# of the many pairs of images, and wide jobs ask for more than is left.
MANY_WORKERS = Load(
    workers=14,
    cores=(16, 16, 24),
    memory_mb=64_000,
    keepers=KeeperKind(
        (8, 20),
        (3200, 800, 1500, 5000),
        6400,
        reserved_share=0.9,
        target_factor=6,
        images=10,
        load=(0.42, 0.54),
        load_swing=(0.4, 0.6),
        load_period_s=(16, 24),
    ),
    large=JobKind(
        LARGE_QUEUE, (2, 0.8, 5), 20, 80, Size(1800, 3200, 0), 3.1, 1.5, 0.36
    ),
    small=JobKind(
        SMALL_QUEUE, (1.6, 0.7, 4), 10, 57, Size(400, 800, 0), 1.1, 1.9, 1.4
    ),
    filler_images=18,
    mean_interference=0.025,
    burst_factor=1.5,
)

# Jobs of replicas behind load balancers: the load of each job swings by half
# within 20 s, and three in ten pairs of images interfere strongly.
REPLICATED_KEEPERS = replace(
    MANY_WORKERS,
    workers=42,
    keepers=replace(
        MANY_WORKERS.keepers,
        reserved_share=0.97,
        load=(0.46, 0.5),
        load_swing=(0.48, 0.52),
        load_period_s=(19.5, 20.5),
    ),
    large=replace(MANY_WORKERS.large, work_s=3.8, per_s=0.95),
    small=replace(MANY_WORKERS.small, per_s=4.2),
    pair_kinds=PairKinds(0.3, (0.055, 0.15), (0, 0.012)),
    has_load_by_job=True,
)

# Interference by shared resources. All jobs of keepers arrive at once, a third
# of them of one image, and all tasks are placed anew after a loss of power.
SHARED_RESOURCES = replace(
    REPLICATED_KEEPERS,
    keepers=replace(
        REPLICATED_KEEPERS.keepers,
        reserved_share=0.86,
        image_skew=1,
        submit_interval_s=0.006,
    ),
    pair_kinds=ResourceKinds(
        resources=3,
        idle_part=0.22,
        double_part=0.3,
        strong=(0.055, 0.13),
        weak=(0, 0.012),
    ),
    power_loss_s=20,
)

LOADS_BY_NAME = {
    'small workers': SMALL_WORKERS,
    'large workers': LARGE_WORKERS,
    'many workers': MANY_WORKERS,
    'replicated keepers': REPLICATED_KEEPERS,
    'shared resources': SHARED_RESOURCES,
}
