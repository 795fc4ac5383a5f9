"""`sequoiaspoke check`: validate declarations offline."""

from __future__ import annotations

from sequoiaspoke.commands.declarations import check_declarations


def check(directory: str) -> None:
    """Check declarations of rules and services.

    Prints the warnings and a summary. Exits with status 3 if the declarations have
    errors and must not be published.

    :param directory: directory with `*.ini` files
    """
    declarations, warnings = check_declarations(directory)
    for warning in warnings:
        print(warning)
    targets = sum(len(service.endpoints) for service in declarations.services)
    print(
        f"rules={len(declarations.rules)} services={len(declarations.services)} "
        f"targets={targets} warnings={len(warnings)} errors=0"
    )
