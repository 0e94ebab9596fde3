"""Steps of configuration changes under failures."""

import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
from behave import then, when
from urllib3.exceptions import HTTPError

from features.steps.common import freeze, kill, rating, require, resume, send_one
from features.support.callers import RUN
from features.support.watchers import VersionWatcher
from standins.site import wait_until
from sycamorecroft.configuration.codec import encode_configuration

IN_FORCE_LIMIT_S = 10.0
START_LIMIT_S = 20.0


def in_force_version(site, entry):
    """
    :returns: version in force, 0 if the daemon doesn't answer or isn't ready.
    """
    try:
        return site.status(entry)["in_force_version"]
    except HTTPError:
        return 0


def head_version(site):
    answer = site.call(site.platform_address, "GET", "/tables/configuration/head")
    return msgspec.json.decode(answer.json()["value"])["version"]


def publish(site, author, base_version, entry):
    """Publishes a configuration whose content differs by its author and base."""
    configuration = site.compile()
    service = configuration.services["backoffice"]
    timeout_s = 60.0 + base_version + len(author) / 10
    services = {
        **configuration.services,
        "backoffice": service._replace(timeout_s=timeout_s),
    }
    changed = configuration._replace(services=services)
    body = {
        "base_version": base_version,
        "author": author,
        "configuration": msgspec.Raw(encode_configuration(changed)),
    }
    return site.call_operator(entry, "PUT", "configuration", body)


def _watch(context):
    if not hasattr(context, "watchers"):
        site = context.site
        context.watchers = [VersionWatcher(site, entry) for entry in site.entry_hosts]
        for watcher in context.watchers:
            context.add_cleanup(watcher.stop)
            watcher.start()


@when("{first} and {second} publish at once on the same base")
def _publish_both(context, first, second):
    site = context.site
    base_version = head_version(site)
    context.version = base_version + 1
    authors = (first, second)
    with ThreadPoolExecutor(2) as executor:
        futures = [
            executor.submit(publish, site, author, base_version, entry)
            for author, entry in zip(authors, site.entry_hosts, strict=False)
        ]
        answers = [future.result() for future in futures]
    context.published_s = time.monotonic()
    context.answers = dict(zip(authors, answers, strict=True))


@when("{author} publishes a version")
def _publish(context, author):
    _watch(context)
    base_version = head_version(context.site)
    context.version = base_version + 1
    answer = publish(context.site, author, base_version, context.site.entry_hosts[0])
    require(answer.status == 200, answer.body)
    context.published_s = time.monotonic()


@when("{entry} is frozen")
def _freeze(context, entry):
    _watch(context)
    freeze(context, entry)


@when("{entry} wakes up")
def _wake(context, entry):
    resume(context, entry)


@when("the store is down until it is told to answer")
def _down(context):
    context.site.set_fault({"kind": "down"})


@when("{entry} is killed and started again")
def _replace(context, entry):
    kill(context, entry)
    context.site.kill(entry)
    context.site.start_entry_host(entry)
    context.killed.discard(entry)


@when("the version is in force on all entry hosts")
def _wait_in_force(context):
    _in_force(context)


@then("one of them gets a conflict that names the winner")
def _conflict(context):
    by_status = {answer.status: name for name, answer in context.answers.items()}
    require(set(by_status) == {200, 409}, context.answers)
    message = context.answers[by_status[409]].json()["message"]
    require(f"'{by_status[200]}'" in message, message)


@then("the version is in force on all entry hosts within 10 s")
def _in_force(context):
    site, version = context.site, context.version
    left_s = context.published_s + IN_FORCE_LIMIT_S - time.monotonic()
    wait_until(
        lambda: all(in_force_version(site, e) >= version for e in site.entry_hosts),
        f"version {version} in force on all entry hosts",
        left_s,
    )
    print(f"in force after {time.monotonic() - context.published_s:.2f} s")


@then("no version fell on any entry host")
def _no_fall(context):
    falls = [fall for watcher in context.watchers for fall in watcher.falls]
    require(not falls, falls)
    seen = [watcher.highest for watcher in context.watchers]
    require(min(seen) >= context.version - 1, f"watched versions: {seen}")


@then("{entry} starts from its peers with the version published last")
def _starts_from_peers(context, entry):
    site = context.site
    duration_s = wait_until(
        lambda: in_force_version(site, entry) > 0, f"{entry} is ready", START_LIMIT_S
    )
    version = in_force_version(site, entry)
    require(version == context.version, f"{version}, published {context.version}")
    print(f"{entry} was ready after {duration_s:.1f} s")


@then("{entry} serves ratings before it has reached the store")
def _serves(context, entry):
    site = context.site
    address = site.http_address(entry)
    wait_until(
        lambda: site.call(address, "GET", "/readyz").status == 200, f"{entry} is ready"
    )
    sent = send_one(context, rating("after a start from peers", entry))
    require(sent.outcome == RUN, sent)
    age_s = site.status(entry)["store"]["contact_age_s"]
    require(age_s is None, f"{entry} reached the store {age_s} s ago")
