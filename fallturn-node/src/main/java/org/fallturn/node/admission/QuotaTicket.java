package org.fallturn.node.admission;

import java.util.List;
import org.fallturn.core.admission.AdmissionTicket;
import org.fallturn.core.admission.QuotaKey;

/** One admitted request. Thread-safe; each step counts once. */
final class QuotaTicket implements AdmissionTicket {

  private final AdmissionModule module;
  private final List<QuotaKey> keys;
  private final long tokens;
  private boolean placed;
  private boolean finished;

  QuotaTicket(AdmissionModule module, List<QuotaKey> keys, long tokens) {
    this.module = module;
    this.keys = keys;
    this.tokens = tokens;
  }

  @Override
  public synchronized void placed() {
    if (!placed) {
      placed = true;
      module.placed(keys);
    }
  }

  @Override
  public synchronized void finished(long usedTokens) {
    placed();
    if (!finished) {
      finished = true;
      module.finished(keys, Math.max(0, tokens - usedTokens));
    }
  }
}
