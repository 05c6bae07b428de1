"""Adds up the files of a folder again and again, each in whole 512 bytes, until its standard input ends. Prints a JSON
object with the largest sum, its files, how often it looked, and how often the sum was over the limit."""

import json
import os
import select
import sys

folder, limit = sys.argv[1], int(sys.argv[2])
largest, largest_files, looks, over = 0, {}, 0, 0
while looks % 64 or not select.select([sys.stdin], [], [], 0)[0]:
    files = {}
    with os.scandir(folder) as entries:
        for entry in entries:
            try:
                files[entry.name] = (entry.stat(follow_symlinks=False).st_size + 511) // 512 * 512
            except FileNotFoundError:
                pass
    total = sum(files.values())
    looks += 1
    over += total > limit
    if total > largest:
        largest, largest_files = total, files
print(json.dumps({"largest": largest, "files": largest_files, "looks": looks, "over": over}))
