"""Measurements. Each runs as `python -m benchmarks.NAME [--quick]`, prints `name = value unit` lines and
exits with 1 when a stated bar is missed."""
