"""A server whose id is longer than 128 bytes leaves. Later, all processes are killed and start again. See claim.txt."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from standin import BOUNDS, Client, Server, Unable, TROUBLE, call, configuration, main, now

HOST = "jepu9.example"
LONG_ID = "i-" + "7f3a91c2" * 16  # 130 characters


def play(record, deploy):
    deployment = deploy(fronts=2)
    servers = [Server(deployment, "huvo11a", number) for number in range(1, 5)]
    long_named = Server(deployment, "huvo11a", 9, instance=LONG_ID)
    deployment.servers = servers + [long_named]
    routes = [("r-9n73hh2", HOST, "/lepu270/", "safe", 1.2, 0.4, 2, 2, "huvo11a")]
    deployment.start(configuration(7, routes, ["huvo11a"]))
    client = Client(deployment, HOST, "/lepu270/2f", rate=30)
    client.start()
    time.sleep(BOUNDS["contact_s"] + 3)
    if TROUBLE and long_named.deregister() is None:
        raise Unable("the leave of the server with the long id was not acknowledged")
    time.sleep(4)
    before = client.statuses(until=now() - 2)
    record.say(f"answers before the final fault: {before}")
    if before.get(200, 0) < sum(before.values()) * 0.9:
        raise Unable("the deployment does not serve")
    # The final fault: all processes are killed right after an acknowledgement, and are back within a second.
    deployment.submit(configuration(8, routes, ["huvo11a"]))
    for node in deployment.replicas + deployment.fronts:
        node.kill()
    record.say("all processes killed")
    time.sleep(0.9)
    for node in deployment.replicas + deployment.fronts:
        node.start()
    back = now()
    record.say("all processes started again")
    time.sleep(BOUNDS["recovery_s"] + 20)
    client.stop()
    after = client.statuses(since=back + BOUNDS["recovery_s"])
    served, all_requests = after.get(200, 0), sum(after.values())
    record.say(f"answers to requests sent later than {BOUNDS['recovery_s']} s after the machines were back: {after}")
    for front in deployment.fronts:
        answer = call(front.address("ready"), "GET", "/v1/ready")
        record.say(f"{front.name}: process {'runs' if front.is_running() else 'ended'}, "
                   f"/v1/ready: {answer and answer[0]}")
    return served < all_requests / 4


main(FOLDER, play)
