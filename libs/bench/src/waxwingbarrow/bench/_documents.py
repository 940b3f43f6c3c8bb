"""Service documents of the demo and the measurements."""

from waxwingbarrow.bench._deployment import (
    ACCOUNT_KEY,
    SMALL_ACCOUNT_KEY,
    hash_key,
)
from waxwingbarrow.core import (
    AccountId,
    DataCentre,
    PriorityClass,
    RouteName,
    ServiceName,
    VersionName,
)
from waxwingbarrow.document import (
    AccountGrant,
    Placement,
    Rollout,
    Route,
    ServiceDocument,
    ServiceKind,
    Version,
    to_json,
)

MODEL_SERVICE = "care-assistant"
BOOKING_SERVICE = "rota-booking"
MODEL = "care-model-1"
NEW_MODEL = "care-model-2"
ALL_CLASSES = tuple(PriorityClass)


def make_grant(account: str, key: str, is_model: bool) -> AccountGrant:
    """Return an account whose limits the demo and the measurements do not reach."""
    return AccountGrant(
        account=AccountId(account),
        key_hashes=(hash_key(key),),
        requests_per_s=10_000.0,
        tokens_per_s=10_000_000.0 if is_model else 0.0,
        classes=ALL_CLASSES,
    )


def make_placements() -> tuple[Placement, ...]:
    """Return placements in the two data centres of the demo."""
    return (
        Placement(data_centre=DataCentre("dc-a"), workers=2),
        Placement(data_centre=DataCentre("dc-b"), workers=1),
    )


def make_model_document(rollout: Rollout | None = None) -> str:
    """Return the document of a model service."""
    return to_json(
        ServiceDocument(
            schema_version=1,
            service=ServiceName(MODEL_SERVICE),
            kind=ServiceKind.MODEL,
            accounts=(
                make_grant("demo-account", ACCOUNT_KEY, True),
                make_grant("small-account", SMALL_ACCOUNT_KEY, True),
            ),
            routes=(
                Route(
                    route=RouteName("answer"),
                    repeatable=True,
                    max_output_tokens=4_096,
                    deadline_ms=60_000,
                ),
                Route(
                    route=RouteName("tag"),
                    repeatable=True,
                    max_output_tokens=64,
                    priority_class=PriorityClass.BATCH,
                ),
            ),
            versions=(
                Version(version=VersionName("v1"), model=MODEL),
                Version(version=VersionName("v2"), model=NEW_MODEL),
            ),
            stable_version=VersionName("v1"),
            rollout=rollout,
            placements=make_placements(),
        )
    )


def make_booking_document() -> str:
    """Return the document of a booking service."""
    return to_json(
        ServiceDocument(
            schema_version=1,
            service=ServiceName(BOOKING_SERVICE),
            kind=ServiceKind.PLAIN,
            accounts=(make_grant("demo-account", ACCOUNT_KEY, False),),
            routes=(
                Route(
                    route=RouteName("book-assignment"),
                    repeatable=False,
                    priority_class=PriorityClass.INTERACTIVE,
                ),
                Route(route=RouteName("read-rota"), repeatable=True),
            ),
            versions=(Version(version=VersionName("v1"), model=None),),
            stable_version=VersionName("v1"),
            placements=make_placements(),
        )
    )
