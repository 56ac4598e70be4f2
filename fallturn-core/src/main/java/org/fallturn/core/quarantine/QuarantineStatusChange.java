package org.fallturn.core.quarantine;

import java.util.List;

/**
 * What this node thinks of a content has changed.
 *
 * @param content the content
 * @param status what is thought of it from now on
 * @param engines ids of the engines that crashed under it, as far as they are known
 */
public record QuarantineStatusChange(
    RequestFingerprint content, QuarantineStatus status, List<String> engines) {}
