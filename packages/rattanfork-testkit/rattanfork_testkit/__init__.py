"""Test doubles of upstreams, callers and the platform, for tests and benchmarks."""

from rattanfork_testkit.caller import CallerStats, LoadSpec, OpenLoopCaller
from rattanfork_testkit.cluster import Cluster, NodeHandle
from rattanfork_testkit.deployments import (
    CLAIMS_BUREAU,
    REGISTRY_AUTHORITY,
    Deployment,
    ServiceSpec,
)
from rattanfork_testkit.forwarder import ForwarderSpec
from rattanfork_testkit.platform import PlatformStandIn
from rattanfork_testkit.ports import FreePorts
from rattanfork_testkit.upstream import UpstreamSpec, UpstreamStandIn

__all__ = [
    "CLAIMS_BUREAU",
    "REGISTRY_AUTHORITY",
    "CallerStats",
    "Cluster",
    "Deployment",
    "ForwarderSpec",
    "FreePorts",
    "LoadSpec",
    "NodeHandle",
    "OpenLoopCaller",
    "PlatformStandIn",
    "ServiceSpec",
    "UpstreamSpec",
    "UpstreamStandIn",
]
