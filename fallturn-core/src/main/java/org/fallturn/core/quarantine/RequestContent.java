package org.fallturn.core.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.apache.commons.codec.digest.Blake3;

/**
 * What a caller asks for, apart from the id and the headers of one attempt: target, caller and
 * body. Its fingerprint is computed when it is first asked for, which for most requests is never.
 * One thread calls.
 */
public final class RequestContent {

  /** Of the hash, 96 bits are kept: too many for two contents of a fleet ever to share them. */
  private static final int DIGEST_BYTES = 12;

  private static final int SKETCH_FACTOR = 31;

  private final String target;
  private final String caller;
  private final byte[] body;
  private RequestFingerprint fingerprint;

  /**
   * The content of one request.
   *
   * @param target method, host, path and query
   * @param caller who sends it, as far as the request says; empty when it does not
   * @param body the whole body; not copied
   */
  public RequestContent(String target, String caller, byte[] body) {
    this.target = target;
    this.caller = caller;
    this.body = body;
  }

  /** Memory that the body takes. */
  public int bytes() {
    return body.length;
  }

  /** Costs no look at the body; equal for equal contents. */
  public int sketch() {
    return SKETCH_FACTOR * target.hashCode() + body.length;
  }

  /** Equal for equal contents only. */
  public RequestFingerprint fingerprint() {
    if (fingerprint == null) {
      fingerprint = new RequestFingerprint(sketch(), digest());
    }
    return fingerprint;
  }

  /** Whether it is the content of a fingerprint; costs no look at the body of most others. */
  public boolean is(RequestFingerprint known) {
    return known.sketch() == sketch() && known.equals(fingerprint());
  }

  /**
   * By a hash in plain Java: the first use of the platform's own, which looks for its providers,
   * took 70 ms of processor time in each process, on the thread that decides.
   */
  private String digest() {
    Blake3 hash = Blake3.initHash();
    add(hash, target.getBytes(StandardCharsets.UTF_8));
    add(hash, caller.getBytes(StandardCharsets.UTF_8));
    add(hash, body);
    return HexFormat.of().formatHex(hash.doFinalize(DIGEST_BYTES));
  }

  /** Lengths go first, so that no two lists of fields give the same bytes. */
  private static void add(Blake3 hash, byte[] field) {
    hash.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).array());
    hash.update(field);
  }
}
