"""Serving system for multi-stage model pipelines under one deadline."""

__version__ = "0.1.0"
