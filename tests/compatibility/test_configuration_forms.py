"""The configuration of a router: the operator's file, the platform's object and the endpoint list."""

from __future__ import annotations

import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from tests.compatibility import forms
from tests.compatibility.checks import (
    FROZEN,
    check_names,
    check_values,
    frozen_bytes,
    frozen_lines,
    paths,
    with_key_renamed,
)

OPERATOR = frozen_bytes("operator.toml").decode()
KEYS = re.findall(r"^(?:\[(.+)\]|(\w+) =)", OPERATOR, re.M)
SETTINGS, CONFIG = (msgspec.json.decode(frozen_bytes(name)) for name in ("settings.json", "config.json"))
LISTINGS = ["listing-full", "listing-delta"]
ENVIRONMENT = {
    "LB_NAME": "router-3",
    "LB_LISTEN": "127.0.0.5:7005",
    "LB_DISCOVERY": "127.0.0.6:7006",
    "LB_OPS": "127.0.0.7:7007",
    "LB_INHERITED_FD": "8",
}


# The operator's file


def check_operator(file: Path) -> None:
    """Check that a file is accepted, and that the keys and values in force are the frozen ones."""
    try:
        found = forms.operator_lines(file)
    except Exception as error:
        raise AssertionError(f"the file is refused: {error}") from error
    check_names(found, frozen_lines("operator.txt"))


def test_operator_file_with_every_key_is_accepted() -> None:
    check_operator(FROZEN / "operator.toml")


@pytest.mark.parametrize("key", dict.fromkeys(section or name for section, name in KEYS))
def test_renamed_key_of_the_operator_file_is_detected(tmp_path: Path, key: str) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(re.sub(rf"^(\[?{key})\b", r"\1_renamed", OPERATOR, count=1, flags=re.M))
    with pytest.raises(AssertionError):
        check_operator(file)


# The platform's object


def settings_of(data: bytes) -> Any:
    return forms.settings(msgspec.json.decode(data))


def config_reader(folder: Path, environ: dict[str, str]) -> Callable[[bytes], Any]:
    return lambda data: forms.config(folder, msgspec.json.decode(data), environ)


def test_settings_are_decoded_to_the_frozen_values() -> None:
    check_values(frozen_bytes("settings.json"), settings_of, frozen_bytes("settings.values.json"))


@pytest.mark.parametrize("path", list(paths(SETTINGS)))
def test_renamed_key_of_the_settings_is_detected(path: str) -> None:
    changed = msgspec.json.encode(with_key_renamed(SETTINGS, path))
    with pytest.raises(AssertionError):
        check_values(changed, settings_of, frozen_bytes("settings.values.json"))


@pytest.mark.parametrize(
    ("environ", "values"),
    [({}, "config.values.json"), (ENVIRONMENT, "config-environment.values.json")],
    ids=["file", "environment"],
)
def test_configuration_is_decoded_to_the_frozen_values(
    tmp_path: Path, environ: dict[str, str], values: str
) -> None:
    check_values(frozen_bytes("config.json"), config_reader(tmp_path, environ), frozen_bytes(values))


@pytest.mark.parametrize("path", list(paths(CONFIG)))
def test_renamed_key_of_the_configuration_is_detected(tmp_path: Path, path: str) -> None:
    changed = msgspec.json.encode(with_key_renamed(CONFIG, path))
    with pytest.raises(AssertionError):
        check_values(changed, config_reader(tmp_path, {}), frozen_bytes("config.values.json"))


@pytest.mark.parametrize("variable", ENVIRONMENT)
def test_renamed_environment_variable_is_detected(tmp_path: Path, variable: str) -> None:
    environ = with_key_renamed(ENVIRONMENT, variable)
    expected = frozen_bytes("config-environment.values.json")
    with pytest.raises(AssertionError):
        check_values(frozen_bytes("config.json"), config_reader(tmp_path, environ), expected)


# The endpoint list


@pytest.mark.parametrize("name", LISTINGS)
def test_endpoint_list_is_decoded_to_the_frozen_values(name: str) -> None:
    check_values(frozen_bytes(f"{name}.json"), forms.listing, frozen_bytes(f"{name}.values.json"))


@pytest.mark.parametrize("name", LISTINGS)
def test_endpoint_list_is_encoded_as_frozen(name: str) -> None:
    assert forms.rewritten_listing(frozen_bytes(f"{name}.json")) == frozen_bytes(f"{name}.written.json")


@pytest.mark.parametrize("name", LISTINGS)
def test_renamed_key_of_an_endpoint_list_is_detected(name: str) -> None:
    endpoint_list = msgspec.json.decode(frozen_bytes(f"{name}.json"))
    for path in paths(endpoint_list):
        changed = msgspec.json.encode(with_key_renamed(endpoint_list, path))
        with pytest.raises(AssertionError):
            check_values(changed, forms.listing, frozen_bytes(f"{name}.values.json"))
