package org.fallturn.core.admission;

import org.fallturn.core.admission.QuotaMessages.HoldingsRequest;
import org.fallturn.core.admission.QuotaMessages.ShareRequests;
import org.fallturn.core.domain.NodeId;

/** What a {@link QuotaNode} wants sent. */
public sealed interface QuotaAction {

  /** Who is asked; may be the node itself. */
  NodeId to();

  /**
   * Ask an owner for shares; its answer goes to {@link QuotaNode#onGrants}.
   *
   * @param sentNanos when, for the expiry of what is granted
   */
  record AskShares(NodeId to, ShareRequests message, long sentNanos) implements QuotaAction {}

  /** Ask a node what it holds; its answer goes to {@link QuotaNode#onHoldings}. */
  record AskHoldings(NodeId to, HoldingsRequest message) implements QuotaAction {}
}
