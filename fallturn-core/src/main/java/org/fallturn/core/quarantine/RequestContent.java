package org.fallturn.core.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import org.apache.commons.codec.digest.Blake3;

/**
 * The content of a request: its target, caller and body, and the parts of its prompt that others
 * may share; without the id and the headers of one attempt. The fingerprint of the content is
 * computed on first use, which for most requests never happens. One thread calls.
 */
public final class RequestContent {

  /**
   * Bytes of the hash that are kept: with 96 bits, no two contents of a fleet ever share a digest.
   */
  private static final int DIGEST_BYTES = 12;

  private static final int SKETCH_FACTOR = 31;

  private final String target;
  private final String caller;
  private final byte[] body;
  private final List<SharedPart> sharedParts;
  private RequestFingerprint fingerprint;
  private List<RequestFingerprint> partFingerprints;

  /**
   * Creates the content of one request.
   *
   * @param target method, host, path and query
   * @param caller the sender, as far as the request names it; empty when it does not
   * @param body the whole body; not copied
   */
  public RequestContent(String target, String caller, byte[] body) {
    this(target, caller, body, List.of());
  }

  /**
   * Creates the content of one request.
   *
   * @param target method, host, path and query
   * @param caller the sender, as far as the request names it; empty when it does not
   * @param body the whole body; not copied
   * @param sharedParts the parts of the prompt, except for the last, which is the request's own
   */
  public RequestContent(String target, String caller, byte[] body, List<SharedPart> sharedParts) {
    this.target = target;
    this.caller = caller;
    this.body = body;
    this.sharedParts = List.copyOf(sharedParts);
  }

  /** The size of the body in bytes. */
  public int bytes() {
    return body.length;
  }

  /** A cheap hash that does not read the body; equal for equal contents. */
  public int sketch() {
    return SKETCH_FACTOR * target.hashCode() + body.length;
  }

  /** The fingerprint; equal only for equal contents. */
  public RequestFingerprint fingerprint() {
    if (fingerprint == null) {
      String digest =
          digest(
              target.getBytes(StandardCharsets.UTF_8),
              caller.getBytes(StandardCharsets.UTF_8),
              body);
      fingerprint = new RequestFingerprint(sketch(), digest);
    }
    return fingerprint;
  }

  /** The parts of the prompt that other requests may share. */
  public List<SharedPart> sharedParts() {
    return sharedParts;
  }

  /** The fingerprints of the shared parts, in their order. */
  public List<RequestFingerprint> partFingerprints() {
    if (partFingerprints == null) {
      partFingerprints = sharedParts.stream().map(RequestContent::fingerprint).toList();
    }
    return partFingerprints;
  }

  private static RequestFingerprint fingerprint(SharedPart part) {
    String digest =
        digest(
            part.model().getBytes(StandardCharsets.UTF_8),
            part.id().getBytes(StandardCharsets.UTF_8));
    return new RequestFingerprint(RequestFingerprint.Kind.PROMPT_PART, part.sketch(), digest);
  }

  /**
   * Returns whether the fingerprint is that of this content or of one of its shared parts. For most
   * other contents this does not read the body.
   */
  public boolean has(RequestFingerprint other) {
    return other.isPart()
        ? partFingerprints().contains(other)
        : other.sketch() == sketch() && other.equals(fingerprint());
  }

  /**
   * Computes the hash in plain Java. The first use of the platform's own hash searches for security
   * providers, which took 70 ms of processor time in each process, on the thread that dispatches
   * requests.
   */
  private static String digest(byte[]... fields) {
    Blake3 hash = Blake3.initHash();
    for (byte[] field : fields) {
      update(hash, field);
    }
    return HexFormat.of().formatHex(hash.doFinalize(DIGEST_BYTES));
  }

  /** Adds a field after its length, so that no two lists of fields produce the same bytes. */
  private static void update(Blake3 hash, byte[] field) {
    hash.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).array());
    hash.update(field);
  }
}
