package org.fallturn.rehearsal.emulator;

import java.util.Arrays;
import org.eclipse.jetty.http.HttpFields;

/**
 * The requests on which emulated engines crash. Immutable.
 *
 * @param kind what these requests have in common
 * @param value their body, or the id of a part of their prompts
 */
public record PoisonRequests(Kind kind, String value) {

  /** What the requests have in common. */
  public enum Kind {
    /** The whole body. */
    BODY,
    /** One part of the prompt, other than the last. */
    PROMPT_PART
  }

  /** The requests with a body. */
  public static PoisonRequests withBody(String body) {
    return new PoisonRequests(Kind.BODY, body);
  }

  /** The requests whose prompts have a part. */
  public static PoisonRequests withPromptPart(String partId) {
    return new PoisonRequests(Kind.PROMPT_PART, partId);
  }

  boolean include(HttpFields headers, String body) {
    return switch (kind) {
      case BODY -> value.equals(body);
      case PROMPT_PART -> hasPart(headers.get(EmulatedEngine.PREFIX_HASH));
    };
  }

  private boolean hasPart(String prefixHash) {
    return prefixHash != null
        && Arrays.stream(prefixHash.split(",", -1)).anyMatch(part -> part.startsWith(value + ":"));
  }
}
