package org.fallturn.core.dispatch;

import java.util.List;

/**
 * Shows that no engine has run a request, and that none will run what was sent of it. Only {@link
 * RequestProgress}, which records each send, gives it out, so that nobody else can tell a caller
 * that its request has not run. It holds until the next send. Immutable.
 */
public final class NotRunProof {

  private final List<EndedSend> sends;

  NotRunProof(List<EndedSend> sends) {
    this.sends = List.copyOf(sends);
  }

  /** The sends before, none of which became a run; empty if there were none. */
  public List<EndedSend> sends() {
    return sends;
  }
}
