"""Kinds of requests, as far as a gate tells them apart when its backend is full."""

from __future__ import annotations

from dataclasses import dataclass

from lupinreach.mesh.messages import Request


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Requests that the operator wants alike: the same priority and the same latency aim."""

    priority: int = 0  # 0 is highest
    aim_ms: int = 0  # 0: the sender does not tell it
    is_call: bool = False  # made by a run at a backend, whose work is lost with a refusal

    @classmethod
    def of(cls, asked: Request) -> RequestKind:
        """The kind of a request that another proxy sends."""
        if asked.is_call:
            return CALL
        return cls(asked.priority, asked.aim_ms)

    def __str__(self) -> str:
        return "call" if self.is_call else f"p{self.priority}-{self.aim_ms}ms"


CALL = RequestKind(is_call=True)
