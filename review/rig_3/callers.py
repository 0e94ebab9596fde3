"""Calls of clients."""

import json
import urllib.error
import urllib.request

from review.rig_3.site import Node, Record

DEADLINE_MS = 3000


def call(
    method: str, node: Node, job_id: str, record: Record, job: dict | None = None
) -> tuple[int, dict]:
    """
    :param job: body of a submission.
    :returns: status and body of the answer; status 0 if there is none.
    """
    request = urllib.request.Request(
        f"http://{node.front_address}/rating/{job_id}",
        method=method,
        data=None if job is None else json.dumps(job).encode(),
        headers={
            "Host": "jobs.example",
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(DEADLINE_MS),
        },
    )
    try:
        with urllib.request.urlopen(request, timeout=DEADLINE_MS / 1000) as reply:
            status, body = reply.status, json.loads(reply.read() or b"{}")
    except urllib.error.HTTPError as error:
        status, body = error.code, {}
    except OSError:
        status, body = 0, {}
    record.write(f"{method} {job_id} at {node.name}: {status} {json.dumps(body)}")
    return status, body
