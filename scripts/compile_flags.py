"""Prints the preprocessor flags of one source. usage: compile_flags.py COMPILE_COMMANDS SOURCE"""

import json
import os
import shlex
import sys


def main():
    database, source = sys.argv[1:3]
    wanted = os.path.realpath(source)
    with open(database, encoding="utf-8") as file:
        for entry in json.load(file):
            if os.path.realpath(os.path.join(entry["directory"], entry["file"])) == wanted:
                words = shlex.split(entry["command"])
                keep = []
                for i, word in enumerate(words):
                    if word.startswith(("-I", "-D", "-std")):
                        keep.append(word)
                    elif word == "-isystem":
                        keep += [word, words[i + 1]]
                print(" ".join(shlex.quote(word) for word in keep))
                return


main()
