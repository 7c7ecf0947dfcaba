"""The sidecar process: assembly, start, reload, operators' calls and graceful shutdown."""
