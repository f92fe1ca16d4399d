"""Measures placement by learned speeds in the closed loop of the tests, without a network.

For each rate of requests it prints the time to the first event and the share of work divided by the
share of speed, with the speeds learned and not. The figures are those of the loop only.
"""

import pathlib
import statistics
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "packages" / "kernel" / "tests"))

import speeds_builders

_SPEEDS = {"0.7, 0.7, 1.7": (0.7, 0.7, 1.7) * 4, "1, 1, 1.3": (1.0, 1.0, 1.3) * 4}
_RATES = (50, 70, 85, 95)
_SEEDS = (1, 2, 3)
_WARM_UP_SECONDS, _SECONDS = 15, 25


def measure(speeds: tuple[float, ...], rate: float, learned: bool) -> list[float]:
    """Returns mean, median and 99th percentile of the start, and the shares of slow and fast."""
    starts, slow, fast = [], [], []
    for seed in _SEEDS:
        loop = speeds_builders.ClosedLoop(speeds, rate, learned, seed=seed)
        loop.run(_WARM_UP_SECONDS)
        loop.run(_SECONDS)
        starts += loop.starts
        for name, share in loop.work_shares().items():
            (slow if loop.engines[name].speed <= 1 else fast).append(share)
    starts.sort()
    quantiles = [starts[int(each * len(starts))] for each in (0.5, 0.99)]
    return [statistics.mean(starts), *quantiles, statistics.mean(slow), statistics.mean(fast)]


def main() -> None:
    """Prints the table."""
    print("speeds         rate learned   mean    p50    p99  work/speed: slow  fast")
    for name, speeds in _SPEEDS.items():
        for rate in _RATES:
            for learned in (False, True):
                mean, median, p99, slow, fast = measure(speeds, rate, learned)
                print(
                    f"{name:14} {rate:4} {learned!s:7} {mean:6.3f} {median:6.3f} {p99:6.3f}"
                    f"              {slow:5.2f} {fast:5.2f}"
                )


if __name__ == "__main__":
    main()
