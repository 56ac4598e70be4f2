package org.fallturn.node.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fallturn.node.duty.DutyLoop;
import org.fallturn.node.duty.FaultListener;
import org.fallturn.node.settings.GatewaySettings;
import org.fallturn.node.settings.SettingsException;

/**
 * The duty that reads the settings file again, on SIGHUP or when its text has changed. A file with
 * a mistake changes nothing: the mistakes are logged and the old settings stay in force.
 */
final class SettingsWatch implements AutoCloseable {

  private static final long CHECK_SECONDS = 2;

  private final Path file;
  private final Consumer<GatewaySettings> changed;
  private final DecisionLog log;
  private final Semaphore wishes = new Semaphore(0);
  private final DutyLoop loop = new DutyLoop("settings", this::watch);
  private String lastText = "";

  /**
   * A watch that has not begun.
   *
   * @param changed told of settings without mistakes, on the watch's thread
   */
  SettingsWatch(Path file, Consumer<GatewaySettings> changed, DecisionLog log) {
    this.file = file;
    this.changed = changed;
    this.log = log;
  }

  /**
   * Begins.
   *
   * @param faults hears of what the duty does not catch
   */
  void start(FaultListener faults) {
    lastText = text();
    ReloadSignal.onSignal(wishes::release);
    loop.start(faults);
  }

  /** Begun anew after a fault; settings that were not taken then still count as changed. */
  private void watch() throws InterruptedException {
    while (true) {
      boolean asked = wishes.tryAcquire(CHECK_SECONDS, TimeUnit.SECONDS);
      wishes.drainPermits();
      String text = text();
      if (asked || !text.equals(lastText)) {
        reload(text);
        lastText = text;
      }
    }
  }

  /** A file that cannot be read counts as unchanged, since the platform may be replacing it. */
  private String text() {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      return lastText;
    }
  }

  private void reload(String text) {
    try {
      GatewaySettings settings =
          GatewaySettings.from(GatewaySettings.reader().toml(file.toString(), text).values());
      changed.accept(settings);
      log.settingsReloaded();
    } catch (SettingsException e) {
      log.settingsRefused(e.getMessage());
    }
  }

  @Override
  public void close() {
    loop.close();
  }
}
