"""Hooks for all tests: known failures (tests/known_red.py)."""

from tests.known_red import (
    pytest_collection_modifyitems,
    pytest_configure,
    pytest_runtest_protocol,
    pytest_terminal_summary,
)

__all__ = [
    "pytest_collection_modifyitems",
    "pytest_configure",
    "pytest_runtest_protocol",
    "pytest_terminal_summary",
]
