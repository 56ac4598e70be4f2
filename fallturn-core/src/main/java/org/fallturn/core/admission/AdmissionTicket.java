package org.fallturn.core.admission;

/** An admitted request's hold on its tenant's limits. Each method may be called on any thread. */
public interface AdmissionTicket {

  /** The request left the queue: it has a placement. */
  void placed();

  /**
   * The request ended, however it ended. Later calls do nothing.
   *
   * @param usedTokens tokens really used; the rest goes back to the tenant
   */
  void finished(long usedTokens);
}
