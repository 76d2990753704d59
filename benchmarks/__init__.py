"""Benchmarks. Each runs as `python -m benchmarks.NAME [--quick]`, prints lines `name = value unit` and exits
with 1 if a stated bound is missed."""
