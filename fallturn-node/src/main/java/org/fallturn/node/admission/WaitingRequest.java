package org.fallturn.node.admission;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fallturn.core.admission.AdmissionTicket;
import org.fallturn.core.admission.QuotaKey;

/**
 * A request that waits for a share.
 *
 * @param keys its limits
 * @param tokens what it may use
 * @param untilNanos when it is refused at the latest
 * @param verdict completed with its ticket or its refusal
 */
record WaitingRequest(
    List<QuotaKey> keys,
    long tokens,
    long untilNanos,
    CompletableFuture<AdmissionTicket> verdict) {}
