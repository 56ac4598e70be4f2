package org.fallturn.core.quarantine;

import java.util.List;

/**
 * A change of the status that this node assigns to a content.
 *
 * @param content fingerprint of the content
 * @param status the new status
 * @param engines ids of the engines that crashed under the content, as far as they are known
 */
public record QuarantineStatusChange(
    RequestFingerprint content, QuarantineStatus status, List<String> engines) {}
