"""Publishes triggers with pika and checks the answers: each exactly one, with its fate and reason."""

import sys
import time

import pika

PORT = int(sys.argv[1])
N = 200


def publish(channel, reply_to, number, **changes):
    headers = {"function": "estimate:1", "sent-at-us": int(time.time() * 1e6), "lanes": 16}
    headers.update(changes.pop("headers", {}))
    properties = dict(
        type="estimate",
        message_id=f"m{number}",
        correlation_id=f"c{number}",
        reply_to=reply_to,
        expiration="4000",
        headers=headers,
    )
    properties.update(changes)
    body = b'{"inputs":[]}' if number % 50 else b'{"inputs":[]}' + b" " * 300_000
    channel.basic_publish("", "triggers", body, pika.BasicProperties(**properties))


def main():
    connection = pika.BlockingConnection(pika.ConnectionParameters("127.0.0.1", PORT))
    channel = connection.channel()
    reply_to = channel.queue_declare("", exclusive=True).method.queue
    for number in range(N):
        publish(channel, reply_to, number)
    publish(channel, reply_to, N, headers={"function": None})
    publish(channel, reply_to, N + 1, type="no-such-type")
    publish(channel, reply_to, N + 2, headers={"sent-at-us": int((time.time() - 60) * 1e6)})
    answers = {}
    for method, properties, body in channel.consume(reply_to, auto_ack=True, inactivity_timeout=3):
        if method is None:
            break
        answers.setdefault(properties.correlation_id, []).append((properties.headers, body))
    connection.close()
    assert len(answers) == N + 3, len(answers)
    assert all(len(a) == 1 for a in answers.values()), "an answer came twice"
    good = [a for n in range(N) for a in answers[f"c{n}"]]
    fates = [headers["fate"] for headers, _ in good]
    print("succeeded", fates.count("succeeded"), "throttled", fates.count("throttled"), "errored", fates.count("errored"))
    assert fates.count("succeeded") == N, fates
    assert all(b"estimate:1" in body for _, body in good)
    for number, word in [(N, "function"), (N + 1, "type")]:
        headers = answers[f"c{number}"][0][0]
        assert headers["fate"] == "errored" and headers["field"].startswith(word), headers
    late = answers[f"c{N + 2}"][0][0]
    assert (late["fate"], late["reason"]) == ("throttled", "expired"), late
    print("all answered once")


main()
