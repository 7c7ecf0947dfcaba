"""The configuration of the sidecar in service, which `wheatring` starts when it is run without a command.

Three modules read settings, each from a file of its own:

- `config.platform_file`: the platform's settings for a sidecar in service, JSON, named by `LB_CONFIG`;
- `config.project_file`: the project's own settings, TOML, named by `--config`;
- `wheatring.daemon.operator_properties`: the operators' settings, properties, named by `--operators`.

The processes of the serving tier (controllers, storage nodes, their sidecars) read none of these: their boot
settings are read by `wheatring.tier.boot_settings`. The errors of this package are in `config.exceptions`.
"""
