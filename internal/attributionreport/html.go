package attributionreport

import (
	"bytes"
	"chalkstand/attribution"
	"encoding/base64"
	"fmt"
	"html/template"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
)

// The sizes of the pictures, and how many volumes they show.
const (
	wide, high    = 26 * vg.Centimeter, 10 * vg.Centimeter
	square        = 16 * vg.Centimeter
	matrixVolumes = 12
	reportVolumes = 6
)

type section struct {
	Title string
	Image template.URL
	Text  string
}

type htmlPage struct {
	Title    string
	Span     string
	Notes    []string
	Top      string
	Sections []section
}

// HTML writes a report as one file that needs nothing else. volume, if it is not
// empty, comes first; the heaviest volumes follow.
func HTML(out io.Writer, d *Data, volume string) error {
	w := d.Sum()
	pg := htmlPage{Title: "Latency accounts", Span: d.span(), Notes: d.Notes}
	var volumes []string
	if volume != "" {
		if _, err := findVolume(&w, volume); err != nil {
			return err
		}
		volumes = append(volumes, volume)
	}
	for _, l := range w.Volumes {
		if len(volumes) < reportVolumes && l.Volume != volume {
			volumes = append(volumes, l.Volume)
		}
	}
	var top bytes.Buffer
	Top(&top, d, 20)
	pg.Top = top.String()
	if len(d.Slots) > 0 {
		if err := pg.pictures(d, &w, volumes); err != nil {
			return fmt.Errorf("report: %w", err)
		}
	}
	return pageTemplate.Execute(out, pg)
}

func (pg *htmlPage) pictures(d *Data, w *attribution.Window, volumes []string) error {
	add := func(title, text string, p *plot.Plot, err error, width, height vg.Length) error {
		if err != nil || p == nil {
			return err
		}
		png, err := draw(p, width, height, "png")
		if err != nil {
			return err
		}
		pg.Sections = append(pg.Sections, section{title, template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(png)), text})
		return nil
	}
	p, err := Matrix(w, matrixVolumes)
	text := fmt.Sprintf("All time behind others: %s. No pair that is not named has more than %s.", round(w.Behind), round(w.PairError))
	if err := add("Who waited behind whom", text, p, err, square, square*3/4); err != nil {
		return err
	}
	p, err = Percentiles(w, volumes)
	if err := add("Percentiles", fmt.Sprintf("Each at most %.0f %% off.", 100*attribution.PercentileError), p, err, square, square*3/4); err != nil {
		return err
	}
	for _, v := range volumes {
		var b bytes.Buffer
		if err := Volume(&b, &Data{Slots: d.Slots}, v); err != nil {
			return err
		}
		p, err := Stacked(d, v)
		if err := add("Volume "+v, b.String(), p, err, wide, high); err != nil {
			return err
		}
	}
	p, err = Stacked(d, "")
	return add("All volumes", "", p, err, wide, high)
}

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; max-width: 75em; margin: 2em auto; padding: 0 1em; color: #222 }
pre { background: #f6f6f4; padding: .8em; overflow-x: auto; font-size: 13px }
img { max-width: 100%; border: 1px solid #ddd }
.note { color: #8a3b00 }
</style>
<h1>{{.Title}}</h1>
<p>{{.Span}}</p>
{{range .Notes}}<p class="note">{{.}}</p>
{{end}}<pre>{{.Top}}</pre>
{{range .Sections}}<h2>{{.Title}}</h2>
<img alt="{{.Title}}" src="{{.Image}}">
{{if .Text}}<pre>{{.Text}}</pre>
{{end}}{{end}}</html>
`))
