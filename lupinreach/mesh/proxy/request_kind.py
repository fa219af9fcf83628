"""Classification of requests by which a gate shares out a saturated backend."""

from __future__ import annotations

from dataclasses import dataclass

from lupinreach.mesh.messages import Request


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A class of requests that are treated alike: same priority and same latency target, or calls of runs."""

    priority: int = 0  # 0 is highest
    latency_target_ms: int = 0  # 0: not reported by the sender
    is_call: bool = False  # made by a run at a backend, whose work is lost if the call is refused

    @classmethod
    def of(cls, request: Request) -> RequestKind:
        """Return the kind of a request that a proxy has sent."""
        if request.is_call:
            return CALL
        return cls(request.priority, request.aim_ms)

    def __str__(self) -> str:
        return "call" if self.is_call else f"p{self.priority}-{self.latency_target_ms}ms"


CALL = RequestKind(is_call=True)
