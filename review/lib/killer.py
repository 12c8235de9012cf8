"""Reads a process id and kills that process as soon as a file has its name: killer.py PATH SECONDS, id on stdin."""
import os
import signal
import sys
import time

path, end = sys.argv[1], time.monotonic() + float(sys.argv[2])
print("ready", flush=True)
process = int(sys.stdin.readline())
exists = os.path.exists
while not exists(path):
    if time.monotonic() > end:
        sys.exit(1)
os.kill(process, signal.SIGKILL)
