/*
 * Copyright 2026 The quilldyke authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *     http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.quilldyke.engine;

import java.util.regex.Pattern;

/** Syntax of the network addresses of targets and processes. */
public final class SocketAddresses {
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])";
    private static final Pattern IP = Pattern.compile(OCTET + "(\\." + OCTET + "){3}");
    private static final Pattern PORT = Pattern.compile("[1-9][0-9]{0,4}");
    private static final int MAX_PORT = 65_535;

    private SocketAddresses() {}

    /** Returns whether {@code text} is an IPv4 address. */
    public static boolean isIp(String text) {
        return IP.matcher(text).matches();
    }

    /** Returns whether {@code text} is an IPv4 address, a colon and a port. */
    public static boolean isIpAndPort(String text) {
        int colon = text.indexOf(':');
        return colon >= 0 && isIp(text.substring(0, colon)) && isPort(text.substring(colon + 1));
    }

    private static boolean isPort(String text) {
        return PORT.matcher(text).matches() && Integer.parseInt(text) <= MAX_PORT;
    }
}
