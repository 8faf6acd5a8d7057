package dev.cardamomlane.daemon

import arrow.core.Either
import dev.cardamomlane.daemon.settings.SettingsReader
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.io.File
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

/** The `cardamomlaned` command. */
@Command(
    name = "cardamomlaned",
    mixinStandardHelpOptions = true,
    version = ["cardamomlaned 0.1.0"],
    description = ["Runs one proxy host of cardamomlane until SIGTERM stops it."],
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = ["0:stopped gracefully", "1:could not start", "2:the settings have findings"],
)
internal class Main : Callable<Int> {
    @Option(names = ["--settings"], required = true, paramLabel = "FILE", description = ["the settings, in YAML"])
    lateinit var file: File

    override fun call(): Int {
        if (!file.canRead()) {
            System.err.println("$file can't be read")
            return EXIT_FINDINGS
        }
        return when (val settings = SettingsReader.read(file.name, file.readText())) {
            is Either.Left -> {
                settings.value.forEach { System.err.println(it) }
                EXIT_FINDINGS
            }
            is Either.Right -> run(Daemon(settings.value))
        }
    }

    private fun run(daemon: Daemon): Int {
        daemon.start()
        Runtime.getRuntime().addShutdownHook(Thread { daemon.stop() })
        CountDownLatch(1).await()
        return 0
    }

    private companion object {
        const val EXIT_FINDINGS = 2
    }
}

public fun main(arguments: Array<String>) {
    System.setProperty("jna.tmpdir", System.getProperty("java.io.tmpdir"))
    exitProcess(CommandLine(Main()).execute(*arguments))
}
