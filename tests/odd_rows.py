"""Rows that no target, operator or entry process would write."""

import copy
import json

import msgspec

import wire_platform

DEEP = b"[" * 50000 + b"]" * 50000
# Decoders accept this depth, but code that prints the value fails.
NESTED = b"[" * 900 + b"]" * 900
UNREADABLE = {
    "empty": b"",
    "binary": b"\xff\xfe\x00",
    "text": b"hello",
    "truncated": b'{"service":',
    "deep": DEEP,
    "deep_field": b'{"x":' + DEEP + b"}",
    "scalar": b"1",
    "null": b"null",
    "list": b"[]",
    "object": b"{}",
}
_HUGE = b"1" + b"0" * 30
_ODD_NUMBERS = {
    "huge": _HUGE,
    "out_of_range": b"1" + b"0" * 400,
    "exponent": b"1e308",
    "nan": b"NaN",
    "infinity": b"Infinity",
    "negative": b"-1",
    "text": b'"1"',
    "list": b"[]",
    "true": b"true",
}
_ODD_TEXTS = {
    "null": b"null",
    "number": b"1",
    "list": b"[]",
    "nested": NESTED,
    "deep": DEEP,
    "not_utf8": b'"\xff\xfe"',
    "surrogate": b'"\\ud800x"',
}
_ODD_ADDRESSES = [
    *(f"127.0.0.1:{port}" for port in (99999, -1, 0, "x", "", "080", "8_0")),
    *("127.0.0.1", "127.0.0.1:1 ", ":80", "", "a..b:80", "h:80", "é:80"),
    *("h" * 300 + ":80", "127.0.0.1:" + "9" * 5000, "0.0.0.0:80"),
    *("224.0.0.1:80", "127.0.0.1\r\n:80", "300.0.0.1:80"),
]


def _replace(path, value, plain=None):
    """Returns a row, by default of a target, with another value of a field."""
    plain = plain or wire_platform.make_registration("127.0.0.1:8080")
    plain = copy.deepcopy(plain)
    place = plain
    for name in path[:-1]:
        place = place[name]
    place[path[-1]] = "@"
    return json.dumps(plain).encode().replace(b'"@"', value)


def list_odd_manifests():
    """Returns rows of the operators that are no configuration."""
    route = wire_platform.make_route()
    tenant = {"name": "t", "api_keys": ["k"], "weight": 1, "max_count": {}}
    manifest = {"version": 1, "routes": [route], "tenants": [tenant]}
    manifest["limits"] = {"max_body_bytes": 1000}
    rows = dict(UNREADABLE)
    texts = [("routes", 0, name) for name in ("name", "host", "prefix")]
    texts += [("routes", 0, "service"), ("tenants", 0, "name")]
    texts += [("tenants", 0, "api_keys", 0)]
    numbers = [("routes", 0, "stretch"), ("routes", 0, "max_attempts")]
    numbers += [("tenants", 0, "weight"), ("limits", "max_body_bytes")]
    numbers += [("version",), ("tenants", 0, "max_count", "cpu")]
    for paths, values in ((texts, _ODD_TEXTS), (numbers, _ODD_NUMBERS)):
        for path in paths:
            for name, value in values.items():
                rows[f"{path}_{name}"] = _replace(path, value, manifest)
    for name in ("routes", "tenants", "limits"):
        rows[name] = _replace((name,), b'"x"', manifest)
    return rows


def list_odd_entry_rows():
    """Returns values that are neither an entry process nor a leader."""
    address = "127.0.0.1:80"
    member = ["e1", address, "1", 1.0, "a"]
    leader = [3, "e1", "1"]
    rows = [b"", b"\xc1", b"\x91" * 50000, b"\xa2\xff\xff", b"hello"]
    rows += [msgspec.msgpack.encode(v) for v in ([], {}, 1, None, "x", [[]])]
    for plain in (member, leader):
        for position, value in enumerate(plain):
            odd = [None, [], {}, 2**64 - 1, -1, float("nan"), 1e308, b"\xff"]
            odd += _ODD_ADDRESSES if value == address else []
            odd += ["", "x", "-1", "1" * 5000] if value == "1" else []
            odd = [v for v in odd if type(v) is not type(value) or v != v or v]
            rows += [
                msgspec.msgpack.encode(
                    [*plain[:position], v, *plain[position + 1 :]]
                )
                for v in odd
            ]
    return rows


def _remove(name):
    plain = wire_platform.make_registration("127.0.0.1:8080")
    del plain[name]
    return json.dumps(plain).encode()


def list_odd_registrations():
    """Returns rows in the table of targets that name no usable target."""
    rows = dict(UNREADABLE)
    numbers = [("capacity", name) for name in ("cpu", "mem_mb", "gpu")]
    numbers += [("born",), ("remaining_ms",), ("cold_left_ms",), ("slots",)]
    for path in numbers:
        for name, value in _ODD_NUMBERS.items():
            rows[f"{path[-1]}_{name}"] = _replace(path, value)
    # A time that is left may be over.
    del rows["remaining_ms_negative"], rows["cold_left_ms_negative"]
    for field in ("service", "address", "zone", "state", "labels", "capacity"):
        for name, value in _ODD_TEXTS.items():
            if (field, name) != ("labels", "list"):
                rows[f"{field}_{name}"] = _replace((field,), value)
    for name, value in _ODD_TEXTS.items():
        rows[f"label_{name}"] = _replace(("labels",), b"[" + value + b"]")
    for number, address in enumerate(_ODD_ADDRESSES):
        value = json.dumps(address).encode()
        rows[f"address_{number}"] = _replace(("address",), value)
    for field in ("service", "address", "zone", "state", "capacity"):
        rows[f"{field}_missing"] = _remove(field)
    rows["state_unknown"] = _replace(("state",), b'"gone"')
    nested = b'["r1-1",' + b"[" * 3000 + b"]" * 3000 + b"]"
    rows["label_of_3000_lists"] = _replace(("labels",), nested)
    return rows
