"""The waxwingbarrowd daemon."""
