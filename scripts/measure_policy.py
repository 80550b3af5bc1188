"""Run all policies on the arrival list of each site and print tables."""

import argparse
import pathlib

import msgspec

from redwingslip.experiments import (
    POLICIES,
    ExperimentSpec,
    Measures,
    generate_arrivals,
    max_timely_answers,
    read_experiment,
    run_experiment,
)

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXPERIMENTS = ROOT / "examples" / "experiments"

HEADER = (
    "| policy | timely | of bound | refused | late runs | share nearness "
    "| buffer cost | wait p50/p95/p99 s | longest batch wait s |"
)


def format_row(measures: Measures) -> str:
    """Return a Markdown table row of one policy."""
    share = measures.share_nearness
    waits = "/".join(f"{seconds:.2f}" for seconds in measures.wait_s.values())
    cells = [
        measures.policy,
        f"{measures.n_timely} of {measures.n_requests}",
        f"{measures.n_timely / measures.n_bound:.3f}",
        str(measures.n_refused),
        str(measures.n_wasted),
        "none full" if share is None else f"{share:.3f} ({measures.n_full_windows})",
        f"{measures.buffer_cost:.3f}",
        waits,
        f"{measures.longest_batch_wait.total_seconds():.1f}",
    ]
    return "| " + " | ".join(cells) + " |"


def print_site(spec: ExperimentSpec) -> None:
    """Run every policy on one site's arrival list and print the table."""
    arrivals = generate_arrivals(spec)
    n_bound = max_timely_answers(arrivals, spec.n_slots_total)
    print(f"\n{spec.site}: {len(arrivals)} requests, {spec.n_slots_total} slots, ")
    print(f"utilisation {spec.utilisation}, seed {spec.seed}, bound {n_bound}\n")
    print(HEADER)
    print("|---" * HEADER.count("|", 1) + "|")
    for policy in POLICIES:
        measures = run_experiment(spec, arrivals, policy=policy, n_bound=n_bound)
        print(format_row(measures), flush=True)


def main() -> None:
    """Print a table for each experiment file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="*", type=pathlib.Path)
    parser.add_argument(
        "--seed", type=int, help="seed of the arrival list, instead of the file's"
    )
    parser.add_argument(
        "--utilisation", type=float, help="mean demand, instead of the file's"
    )
    args = parser.parse_args()
    for path in args.files or sorted(EXPERIMENTS.glob("*.ini")):
        spec = read_experiment(path)
        if args.seed is not None:
            spec = msgspec.structs.replace(spec, seed=args.seed)
        if args.utilisation is not None:
            spec = msgspec.structs.replace(spec, utilisation=args.utilisation)
        print_site(spec)


if __name__ == "__main__":
    main()
