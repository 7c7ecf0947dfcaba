"""The configuration of the sidecar that `wheatring` without a command starts: the sidecar in service.

Three parts of the program read settings, each a file of its own:

- `config.platform_file`: what the platform sets for a sidecar in service, JSON, named by `LB_CONFIG`;
- `config.project_file`: what the project adds to it, TOML, named by `--config`;
- `wheatring.daemon.operator_properties`: what operators set, properties, named by `--operators`.

The processes of the serving tier (controllers, storage nodes, their sidecars) read none of these: their boot
settings are read by `wheatring.tier.boot_settings`. The errors of this package are in
`config.exceptions`.
"""
