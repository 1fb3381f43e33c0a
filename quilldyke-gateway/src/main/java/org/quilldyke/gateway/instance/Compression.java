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
package org.quilldyke.gateway.instance;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;

/** Makes manifests small for the log and for the way: their text repeats itself. */
public final class Compression {
    private Compression() {}

    /** Returns the bytes, compressed. */
    public static byte[] compress(byte[] bytes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(out)) {
            deflater.write(bytes);
        } catch (IOException e) {
            // A stream in memory doesn't fail.
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    /**
     * Returns the bytes that were compressed.
     *
     * @throws QuilldykeException {@link ResultCode#INTERNAL} if they weren't
     */
    public static byte[] expand(byte[] compressed) throws QuilldykeException {
        try (InflaterInputStream in =
                new InflaterInputStream(new ByteArrayInputStream(compressed))) {
            return in.readAllBytes();
        } catch (IOException e) {
            throw QuilldykeException.of(ResultCode.INTERNAL, Outcome.UNKNOWN, e.toString(), e);
        }
    }
}
