"""JSON bodies of the interface that explains placements."""

from enum import StrEnum

import msgspec

from sycamorecroft.scheduling.placement_explanation import PlacementExplanation

EXPLAIN_PLACEMENT_PATH = "/operator/v1/explain/placement"


class ExplainRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Question about a job that is given as on the wire, or by its id.

    ``host`` and ``path``: HTTP host name and path of a submission, with or without the
    id of the job. ``account``: name of the client account, empty if there is none.
    ``job``: body of the submission, left out to ask for a stored job by its ``id``.
    """

    id: str = ""
    host: str = ""
    path: str = ""
    account: str = ""
    job: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET


class ExplainOutcome(StrEnum):
    """What a node can say.

    ``EXPLAINED``: it owns the service. ``REFUSED``: the job would be refused.
    ``NOT_OWNER``: another entry host owns the service. ``NO_SUCH_JOB``: none of the
    services that it was asked for and owns has an active job with this id.
    """

    EXPLAINED = "explained"
    REFUSED = "refused"
    NOT_OWNER = "not_owner"
    NO_SUCH_JOB = "no_such_job"


class NodeKnowledge(msgspec.Struct, frozen=True):
    """The node that answers, and how old what it knows is.

    ``configuration_age_s``: time for which changes of the configuration may not be in
    force there.
    """

    host: str
    configuration_version: int
    configuration_age_s: float
    store_contact_age_s: float


class RouteFound(msgspec.Struct, frozen=True):
    """Queue that the host name and path lead to."""

    queue: str
    service: str
    path_prefix: str
    is_public: bool


class Admission(msgspec.Struct, frozen=True):
    """How a submission would be judged; ``status`` is that of the HTTP response.

    ``reason``: code of a refusal; ``text``: what the caller would be told.
    ``is_account_known``: whether the account is configured; ``None`` if none was named
    or the configuration has no accounts.
    """

    is_admitted: bool
    status: int
    reason: str = ""
    text: str = ""
    is_account_known: bool | None = None


class ServiceOwner(msgspec.Struct, frozen=True):
    """Owner of a service as the answering node knows it; ``host`` is empty for none.

    ``known_for_s``: time since that was read. ``is_answering``: the service runs on the
    answering node.
    """

    service: str
    host: str
    epoch: int
    known_for_s: float | None
    is_answering: bool = False


class ExplainReply(msgspec.Struct, frozen=True):
    """Answer of a node.

    ``owners``: owner of the service asked for, or of all services if the job's service
    isn't known. ``claim_confirmed_age_s``: time since the claim of the answering owner
    was known to hold. ``state_age_s``: age of the state that was explained.
    """

    outcome: ExplainOutcome
    node: NodeKnowledge
    route: RouteFound | None = None
    admission: Admission | None = None
    owners: tuple[ServiceOwner, ...] = ()
    claim_confirmed_age_s: float | None = None
    state_age_s: float | None = None
    placement: PlacementExplanation | None = None


class ExplainFailure(msgspec.Struct, frozen=True):
    """Answer without an explanation; ``error`` is a code of a bounded set."""

    error: str
    message: str
