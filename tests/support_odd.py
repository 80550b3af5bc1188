"""Odd data of another writer, for tests of everything that reads documents."""

# Deeper than a decoder follows.
N_LEVELS = 200_000
DEEP_LIST = b"[" * N_LEVELS + b"]" * N_LEVELS
DEEP_BODY = b'{"odd":' + DEEP_LIST + b"}"

# Too large for the log, or below what a number of something can be.
ODD_NUMBERS = (10**30, 2**64, 2**63, 2**53, -1, -(2**64))

ODD_ADDRESSES = (
    "",
    "10.0.0.9",
    "10.0.0.9:",
    ":8080",
    "10.0.0.9:0",
    "10.0.0.9:99999",
    "10.0.0.9:65536",
    "10.0.0.9:-1",
    "10.0.0.9:+80",
    "10.0.0.9:http",
    "10.0.0.9: 80",
    "10.0.0.9:80\n",
    "10.0.0.9:\u0661",
    "10.0.0.9:" + "9" * 5000,
    "::1:80",
    "user@10.0.0.9:80",
    "10.0.0.9:80/path",
    "10.0.0.9:80:80",
    "10.0.0 9:80",
)


def with_deep_field(body):
    """Return an encoded object with one more field, which is nested very deeply."""
    return body[:-1] + b',"odd":' + DEEP_LIST + b"}"
