import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Starts daemon threads, so that no thread keeps a case running. */
final class Threads {
  private static final ScheduledExecutorService TIMERS = Executors.newScheduledThreadPool(4, Threads::daemon);

  private Threads() {}

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  }

  static Thread start(Runnable task) {
    Thread thread = daemon(task);
    thread.start();
    return thread;
  }

  static void after(long millis, Runnable task) {
    TIMERS.schedule(task, millis, TimeUnit.MILLISECONDS);
  }

  static void every(long millis, Runnable task) {
    TIMERS.scheduleAtFixedRate(task, millis, millis, TimeUnit.MILLISECONDS);
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
