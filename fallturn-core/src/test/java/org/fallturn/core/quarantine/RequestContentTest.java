package org.fallturn.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/**
 * Guards against a content that is not recognized under another request id, and against one content
 * being mistaken for another.
 */
class RequestContentTest {

  private static final RequestFingerprint KNOWN = fingerprint("POST host/a", "caller", "body");

  private static RequestFingerprint fingerprint(String target, String caller, String body) {
    return new RequestContent(target, caller, body.getBytes(StandardCharsets.UTF_8)).fingerprint();
  }

  @Test
  void equalContentsHaveEqualFingerprints() {
    assertThat(fingerprint("POST host/a", "caller", "body")).isEqualTo(KNOWN);
  }

  @Test
  void differentContentsHaveDifferentFingerprints() {
    assertThat(fingerprint("POST host/b", "caller", "body")).isNotEqualTo(KNOWN);
    assertThat(fingerprint("POST host/a", "another", "body")).isNotEqualTo(KNOWN);
    assertThat(fingerprint("POST host/a", "caller", "bodz")).isNotEqualTo(KNOWN);
    assertThat(fingerprint("POST host/a", "calle", "rbody")).isNotEqualTo(KNOWN);
  }

  @Test
  void fingerprintIsParsedFromItsText() {
    assertThat(RequestFingerprint.parse(KNOWN.toString())).isEqualTo(KNOWN);
  }

  @Test
  void textThatIsNoFingerprintIsRejectedWithItsText() {
    assertThatThrownBy(() -> RequestFingerprint.parse("short"))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("short");
  }
}
