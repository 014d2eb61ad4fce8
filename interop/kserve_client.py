"""Public KServe v2 clients (HTTP and gRPC) against a running router; prints how many checks held, exits 1 if not all.

Arguments: REST address, gRPC address.
"""

import sys

import numpy as np
import tritonclient.grpc as over_grpc
import tritonclient.http as over_http
from tritonclient.utils import InferenceServerException

REST, GRPC = sys.argv[1:3]
# The HTTP client writes into the headers that it is handed: each call gets its own.
HEADERS = {"cedarpulley-trigger-type": "estimate", "cedarpulley-lanes": "4"}
MODEL = "estimate:roof"
held, broken = 0, []


def check(what, holds):
    global held
    if holds:
        held += 1
    else:
        broken.append(what)


def refused(what, call, word):
    try:
        call()
        broken.append(f"{what}: not refused")
    except InferenceServerException as e:
        check(f"{what}: {e}", word in str(e))


rest = over_http.InferenceServerClient(REST, concurrency=8)
rpc = over_grpc.InferenceServerClient(GRPC)
for name, client, wire in (("rest", rest, over_http), ("grpc", rpc, over_grpc)):
    check(f"{name} live", client.is_server_live())
    check(f"{name} ready", client.is_server_ready())
    check(f"{name} model ready", client.is_model_ready(MODEL))
    told = client.get_server_metadata()
    told = told["name"] if isinstance(told, dict) else told.name
    check(f"{name} metadata", told == "cedarpulley")
    for shape, kind in (((4,), np.float32), ((2, 3), np.int64), ((300, 300), np.uint8), ((0,), np.float64)):
        given = (np.arange(int(np.prod(shape))) % 100).reshape(shape).astype(kind)
        tensor = wire.InferInput("x", list(shape), {
            np.float32: "FP32", np.int64: "INT64", np.uint8: "UINT8", np.float64: "FP64"}[kind])
        tensor.set_data_from_numpy(given)
        answer = client.infer(MODEL, [tensor], headers=dict(HEADERS), request_id="7")
        back = answer.as_numpy("x")
        # Without any byte nothing is raw, and the stand-in worker gives back raw tensors alone.
        check(f"{name} {kind.__name__} {shape}", given.size == 0 or (back == given).all())
    texts = wire.InferInput("t", [2], "BYTES")
    texts.set_data_from_numpy(np.array([b"a", b"\xff\x00"], dtype=np.object_))
    back = client.infer(MODEL, [texts], headers=dict(HEADERS)).as_numpy("t")
    check(f"{name} bytes", list(back) == [b"a", b"\xff\x00"])
    check(f"{name} version", client.infer(MODEL, [texts], model_version="3", headers=dict(HEADERS)) is not None)
    index = client.get_model_repository_index()
    names = [m["name"] for m in index] if isinstance(index, list) else [m.name for m in index.models]
    check(f"{name} index", MODEL in names)
    refused(f"{name} no type", lambda: client.infer(MODEL, [texts]), "trigger")
    late = {**HEADERS, "cedarpulley-sent-at-us": "1000"}
    refused(f"{name} too late", lambda: client.infer(MODEL, [texts], headers=late), "expired")

typed = over_http.InferInput("x", [4], "FP32")
typed.set_data_from_numpy(np.ones(4, dtype=np.float32), binary_data=False)
check("rest typed", rest.infer(MODEL, [typed], headers=dict(HEADERS)).get_response()["model_name"] == MODEL)
# Many at once on one HTTP/2 connection.
many, tensor = [], over_grpc.InferInput("x", [1], "FP32")
tensor.set_data_from_numpy(np.ones(1, dtype=np.float32))
for _ in range(200):
    rpc.async_infer(MODEL, [tensor], lambda result, error: many.append(error), headers=dict(HEADERS), client_timeout=5)
import time
until = time.time() + 10
while len(many) < 200 and time.time() < until:
    time.sleep(0.01)
check(f"grpc 200 at once: {[str(e) for e in many if e][:2]}", len(many) == 200 and not any(many))

print(f"{held} of {held + len(broken)} checks held")
for what in broken:
    print("  broken:", what)
sys.exit(bool(broken))
