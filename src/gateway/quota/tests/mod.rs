//! Tests of quotas: the owner, the grants of a router, and a replay of both on virtual time.
