#!/bin/bash
# Places one SIP call at a session controller and prints all that comes back within 7 s.
#   examples/call.sh [HOST [PORT]]
set -euo pipefail
exec 3<>"/dev/tcp/${1:-127.0.0.1}/${2:-5060}"
id=$(printf '%08x%08x' "$(date +%s)" $$)
body=$'v=0\r\nc=IN IP4 127.0.0.1\r\nm=audio 31002 RTP/AVP 0\r\n'
printf 'INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP toy\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\nCall-Kind: seat-lookup\r\nAnswer-Within: 3000\r\nRouting-Data: dest:0;width:1;via:-1\r\nContent-Length: %d\r\n\r\n%s' \
    "$id" "${#body}" "$body" >&3
timeout 7 cat <&3 || true
