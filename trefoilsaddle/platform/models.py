"""Define the base class of the platform's data models."""

from pydantic import BaseModel, ConfigDict


class WireModel(BaseModel):
    """Reject fields of a wrong type and ignore unknown fields."""

    model_config = ConfigDict(strict=True, extra='ignore', frozen=True)
