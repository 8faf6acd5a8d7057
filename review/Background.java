import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Threads and timers of the stand-ins. */
final class Background {
    static final ExecutorService THREADS = Executors.newCachedThreadPool(action -> {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        return thread;
    });
    private static final ScheduledExecutorService TIMERS = Executors.newScheduledThreadPool(2, action -> {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        return thread;
    });

    private Background() { }

    static void after(long millis, Runnable action) {
        TIMERS.schedule(() -> THREADS.execute(action), millis, TimeUnit.MILLISECONDS);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
